package wire

import (
	"hickoryvane.example/core/ident"
)

// Beacon is the state that routers without agents send each other several times a second, one datagram
// each. A later beacon replaces an earlier one, so a lost one needs no repeat.
type Beacon struct {
	_struct bool `codec:",toarray"`

	Process ident.ProcessID
	Boot    ident.Boot
	// Seq grows with each beacon of a boot; older ones are ignored.
	Seq        ident.Seq
	Generation ident.Generation
	Loads      []BeaconLoad
	Used       []BeaconUse
	// Prints are fingerprints of requests that were running when a target crashed.
	Prints []BeaconPrint
}

// BeaconLoad is what the sender has at one target.
type BeaconLoad struct {
	_struct bool `codec:",toarray"`

	Service ident.Service
	Target  ident.TargetID
	Running int
	Unread  ident.Tokens
}

// BeaconUse is the number of tokens that an account has taken at the sender since its boot.
type BeaconUse struct {
	_struct bool `codec:",toarray"`

	Account ident.AccountID
	Tokens  ident.Tokens
}

// BeaconPrint says that a target crashed while a request ran.
type BeaconPrint struct {
	_struct bool `codec:",toarray"`

	Print  ident.Print
	Target ident.TargetID
	// Among is the number of requests that ran there.
	Among int
	// Age is the time since the crash in milliseconds.
	Age int64
}
