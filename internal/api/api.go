// Package api parses and validates job submissions: Parse turns a request body into a
// [schema.Job], and CheckFeasible checks whether the job can ever run.
//
// Parse returns a *MalformedError for an invalid body, and CheckFeasible an *InfeasibleError for a
// job that can never run. Their texts are shown to users and are part of the API: they name fields as
// users write them.
//
// Parse accepts only jobs whose values are in range, so later code does not check them again. It matches
// field names exactly, including case, and ignores unknown fields. If a name occurs twice, the last value
// counts, for every field. The package keeps no state and does no I/O: the results depend on the
// arguments alone.
package api
