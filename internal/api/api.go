// Package api reads and checks what users submit: Parse turns a request body into a
// [schema.Job], and CheckFeasible tells whether a job can ever run.
//
// A body that is no valid submission gives a *MalformedError, a job that can never run an
// *InfeasibleError. Their texts are shown to users and are part of the API: they name fields as
// users write them.
//
// Parse accepts only jobs whose values are in range, so nobody else checks them. It knows fields by
// their exact names and ignores all others: a name in other case is another field. Of a name that
// stands twice the last value counts, for every field. The package keeps no state and asks nobody:
// what is accepted depends on the arguments alone.
package api
