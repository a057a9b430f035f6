"""Gangs of tasks, as executors run them."""

GANG_TIMEOUT_MS = 3000  # gang_timeout_ms in the settings.


class Gang:
    """The members of one run of a gang. They work while all of them are present, and end as
    done together; the end of one in another way ends the others as broken."""

    def __init__(self, count):
        self.count, self.begun = count, None
        self.members = {}  # The executor of each run.

    def end_of(self, run, now):
        """@returns how this member ends now, or None."""
        if any(mate.ended is not None for mate in self.members):
            return "broken"
        if self.begun is None and len({mate.task for mate in self.members}) == self.count:
            self.begun = now
        if self.begun is None:
            return "alone" if now - run.begun >= GANG_TIMEOUT_MS else None
        if now - self.begun < run.work_ms or any(mate.stopping for mate in self.members):
            return None
        return "failed" if run.fails else "done"

    def end(self, how):
        """Ends all members alike, unless the lease of one has lapsed."""
        for executor in self.members.values():
            executor.expire_lease()
        if all(run.ended is None for run in self.members):
            for run, executor in self.members.items():
                executor.end((run.task, run.number), how)
