package operator

import "net/http"

// JobStopper stops the shards of a job that this daemon runs. It needs neither the log nor other daemons.
type JobStopper interface {
	// StopJob stops a job at this daemon and returns the number of its shards that this daemon ran.
	StopJob(id string) int
}

// WithJobStopper sets the stopper of jobs. It is to be called before Handler is used.
func (o *API) WithJobStopper(s JobStopper) *API {
	o.jobStopper = s

	return o
}

// maxJobIDBytes bounds the length of a job identifier in bytes, because the identifiers of stopped jobs are kept in memory.
const maxJobIDBytes = 64

// handleStopJob stops a job at this daemon only. Other daemons go on with it until its account cancels it.
func (o *API) handleStopJob(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")

	if o.jobStopper == nil {
		writeJSON(w, http.StatusNotFound, map[string]string{"message": "this daemon runs no jobs"})

		return
	}

	if len(id) > maxJobIDBytes {
		writeJSON(w, http.StatusBadRequest, map[string]string{"message": "the job identifier is too long"})

		return
	}

	writeJSON(w, http.StatusOK, map[string]any{"id": id, "stopped_shards": o.jobStopper.StopJob(id)})
}
