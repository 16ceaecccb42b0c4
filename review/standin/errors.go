package main

import "errors"

var (
	errNoStart  = errors.New("the fleet did not start to serve")
	errClosing  = errors.New("the fleet is being stopped")
	errNoLeader = errors.New("no control host answered a read")
)
