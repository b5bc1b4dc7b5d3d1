package config

import (
	"fmt"
	"net/netip"
)

// maxNumber is above every reasonable setting; the bound also rejects infinity.
const maxNumber = 1e9

// validator keeps the error of the first invalid field.
type validator struct {
	err error
}

func (v *validator) require(ok bool, field, reason string) {
	if !ok && v.err == nil {
		v.err = fmt.Errorf("%s: %s", field, reason)
	}
}

func (v *validator) requireAddr(field, addr string) {
	_, err := netip.ParseAddrPort(addr)
	v.require(err == nil, field, fmt.Sprintf("needs an IP number and port, got %q", addr))
}

func (v *validator) requirePositive(field string, number float64) {
	v.require(number > 0 && number < maxNumber, field, fmt.Sprintf("must be a positive number, got %v", number))
}
