package operator

import "net/http"

// JobStopper stops what this daemon runs of a job, whether or not the rest of the system can be reached.
type JobStopper interface {
	// StopJob returns the number of shards of the job that ran here.
	StopJob(id string) int
}

// WithJobStopper sets what stops jobs.
func (o *API) WithJobStopper(s JobStopper) *API {
	o.jobStopper = s

	return o
}

// maxJobID bounds the identifier of a job, as stopped jobs are remembered.
const maxJobID = 64

// handleStopJob stops a job at this daemon only. The job itself is cancelled through its account.
func (o *API) handleStopJob(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")

	if o.jobStopper == nil {
		writeJSON(w, http.StatusNotFound, map[string]string{"message": "this daemon runs no jobs"})

		return
	}

	if len(id) > maxJobID {
		writeJSON(w, http.StatusBadRequest, map[string]string{"message": "the job identifier is too long"})

		return
	}

	writeJSON(w, http.StatusOK, map[string]any{"id": id, "stopped_shards": o.jobStopper.StopJob(id)})
}
