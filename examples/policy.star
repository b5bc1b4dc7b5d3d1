# An example policy. Every setting is optional; docs/operations.md has the list.

refresh_s = 10          # interval, in seconds, at which fair shares are recomputed from scratch
spare_share = 0.15      # free capacity to keep, as a fraction of the used capacity
return_idle_boots = 2.0 # how many boot times an idle rented machine is kept
spot = True
hire_most = 4

def weight(job):
    """Jobs near their deadline get more of the room."""
    if job["due_in_s"] > 0 and job["due_in_s"] < 120:
        return 3.0
    if job["grade"] == "best_effort":
        return 0.5
    return 1.0
