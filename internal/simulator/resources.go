package simulator

import "frostdock.example/frostdock/internal/schema"

// resources are the amounts that a machine has, a task requests, or a team uses.
type resources struct{ cpus, gpus, memGB float64 }

// requestOf returns the resources that one task of a job requests.
func requestOf(job *schema.Job) resources {
	return resources{cpus: job.CPUs, gpus: job.GPUs, memGB: job.MemGB}
}

func (r resources) plus(other resources) resources {
	return resources{r.cpus + other.cpus, r.gpus + other.gpus, r.memGB + other.memGB}
}

func (r resources) minus(other resources) resources {
	return resources{r.cpus - other.cpus, r.gpus - other.gpus, r.memGB - other.memGB}
}

// covers reports whether a request fits into r, allowing for rounding errors up to tolerance.
func (r resources) covers(request resources, tolerance float64) bool {
	return r.cpus >= request.cpus-tolerance && r.gpus >= request.gpus-tolerance && r.memGB >= request.memGB-tolerance
}
