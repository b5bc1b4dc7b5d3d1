// Package api reads and checks what users submit: Parse turns a request body into a
// [schema.Job], and CheckFeasible tells whether a job can ever run.
//
// A body that is no valid submission gives a *MalformedError, a job that can never run an
// *InfeasibleError. Their texts are shown to users and are part of the API: they name fields as
// users write them.
//
// Parse accepts only jobs whose values are in range, so nobody else checks them. It ignores
// fields that it does not know. The package keeps no state and asks nobody: what is accepted
// depends on the arguments alone.
package api
