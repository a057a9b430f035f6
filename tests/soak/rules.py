"""The rules that the soak checks on the record of the executors."""

from collections import defaultdict

from stage import LATE_MS, ms

# RULES.md, LOST: for 3 s from 6 s after its last run a lasting task does not run.
LASTING_GAP_MS = 9000
# docs/hard-load.md, R8: bounds.evacuate_ms.
EVACUATE_MS = 5000
# The settings' cancel_ms and stop_ms.
CANCEL_MS, STOP_MS = 3000, 200
# After the last fault a process is in touch again, and all executors are in the registry.
CALM_MS = 3000 + 4000


def counts_as_noted(run, executor):
    """An end that is acknowledged after the executor's lease has lapsed doesn't count
    (RULES.md, TWICE)."""
    noted = executor.noted.get((run.task, run.number, run.life))
    return noted is not None and not any(run.ended <= lapse <= noted for lapse in executor.lapses)


def own_end(process, expected=None):
    """A process that ends by itself, by a crash or a report of a sanitizer, is a fault."""
    status = process.process.returncode
    return [] if status == expected else [
        f"FAULT: {process.name} ended by itself with status {status}"]


def lost_tasks(runs, answers, lasting, now):
    """Lasting tasks of accepted jobs that do not run, LASTING_GAP_MS after their last run
    or, if they have none, after their turn came."""
    ends = {}
    for run in runs:
        ends[run.task] = max(ends.get(run.task, 0), now if run.ended is None else run.ended)
    for job, (step, counts) in lasting.items():
        if 200 not in answers[job]:
            continue
        before = [ends.get(f"{job}.0.{step - 1}.{n}", 0) for n in range(counts[step - 1])
                  ] if step else []
        for task in (f"{job}.0.{step}.{n}" for n in range(counts[step])):
            idle_ms = now - max([ends.get(task, 0), *before])
            if idle_ms > LASTING_GAP_MS:
                yield (f"LOST: {task} lasts, was accepted and " +
                       (f"has not run for {idle_ms:.0f} ms" if task in ends else "never ran"))


def long_gaps(runs, answers, lasting):
    """Lasting tasks of accepted jobs that were down for LASTING_GAP_MS between two runs."""
    last = {}
    for run in sorted(runs, key=lambda run: run.begun):
        job, _, step, _ = run.task.split(".")
        if job in lasting and int(step) == lasting[job][0] and 200 in answers[job]:
            gap_ms = run.begun - last.get(run.task, run.begun)
            if gap_ms > LASTING_GAP_MS:
                yield (f"LOST: {run.task} lasts and did not run for {gap_ms:.0f} ms "
                       f"before run {run.number}")
            last[run.task] = max(last.get(run.task, 0), run.ended or ms())


def evacuated_starts(runs, evacuations):
    """Starts in a zone that were ordered from EVACUATE_MS after the acknowledgement of its
    evacuation until the removal. `runs` are pairs of a run and its zone. The time at which the
    order was sent counts, since an executor may carry it out late."""
    for run, zone in runs:
        sent = run.begun - run.late_ms
        for evacuation in evacuations:
            idle_from = evacuation.acknowledged + EVACUATE_MS
            if evacuation.zone == zone and idle_from < sent < (evacuation.removed or ms()):
                yield (f"EVAC: {run.task} run {run.number} was ordered in {zone} "
                       f"{sent - evacuation.acknowledged:.0f} ms after its evacuation was "
                       f"acknowledged")


def starts_after_end(runs):
    """Pairs of a run that ended as done, which was taken note of, and a later start of the
    task. The end of one member of a gang stands for all. `runs` are pairs with the executor."""
    units = defaultdict(list)
    for run, executor in runs:
        units[run.task.rsplit(".", 1)[0] if run.gang else run.task].append((run, executor))
    for unit in units.values():
        for done, executor in unit:
            if done.how == "done" and counts_as_noted(done, executor):
                yield from ((done, run) for run, _ in unit if run.begun > done.ended)


def starts_beyond_attempts(runs, attempts):
    """Starts after so many runs of the task have ended as failed, which was taken note of."""
    tasks = defaultdict(list)
    for run, executor in runs:
        tasks[run.task].append((run, executor))
    for members in tasks.values():
        failed = sorted(run.ended for run, executor in members
                        if run.how == "failed" and counts_as_noted(run, executor))
        yield from (run for run, _ in members
                    if len(failed) >= attempts and run.begun > failed[attempts - 1])


def starts_beyond_limit(executors, limits):
    """Starts on an executor that runs as many tasks of the step and occurrence as it may, with
    what it runs. `limits` by job and step."""
    for executor in executors:
        steps = defaultdict(list)
        for run in executor.runs:
            job, occurrence, step, _ = run.task.split(".")
            if (job, int(step)) in limits:
                steps[job, occurrence, int(step)].append(run)
        for (job, _, step), members in steps.items():
            for run in members:
                beside = [other for other in members
                          if other is not run and other.begun <= run.begun
                          and (other.ended is None or other.ended > run.begun)]
                if len(beside) >= limits[job, step]:
                    yield run, beside


def cancelled_runs(runs, cancels, calm_from, now):
    """Runs of cancelled jobs that started, or went on, long after the acknowledgement and
    after the last fault."""
    for run in runs:
        acknowledged = cancels.get(run.task.split(".")[0])
        if acknowledged is None:
            continue
        calm = calm_from + CALM_MS
        if run.late_ms <= LATE_MS and run.begun > max(acknowledged + CANCEL_MS, calm):
            yield f"UNASKED: {run.task} run {run.number} started after its job was cancelled"
        gone_by = max(acknowledged, calm, run.begun + CALM_MS) + CANCEL_MS + STOP_MS + LATE_MS
        if (now if run.ended is None else run.ended) > gone_by:
            yield f"UNASKED: {run.task} run {run.number} ran on after its job was cancelled"


def broken_rules(world, callers, calm_from):
    answers, lasting, cancels = callers.answers, callers.lasting, callers.cancels

    def told(run):
        """The run with the call that started it."""
        return (f"run {run.number} on {world.where(run).id} ({run.how}, at "
                f"{(run.begun - world.record.begun) / 1000:.3f} s, life {run.life_number}, token "
                f"{run.token}, ordered in life {run.sent_life}, {run.late_ms:.0f} ms before)")

    broken = [f"TWICE: {a.task} {told(a)} and {told(b)} at the same time for {overlap_ms:.0f} ms"
              for a, b, overlap_ms in world.overlaps()]
    runs = [(run, executor) for executor in world.executors for run in executor.runs]
    broken += [f"TWICE: {run.task} {told(run)} started after {told(done)} was done and "
               f"acknowledged" for done, run in starts_after_end(runs)]
    broken += [f"BUDGET: {run.task} {told(run)} started after {world.max_attempts} failures"
               for run in starts_beyond_attempts(runs, world.max_attempts)
               if run.task.split(".")[0] not in lasting]
    broken += [f"ROUTE: {run.task} {told(run)} started beside " +
               ", ".join(f"{other.task} {told(other)}" for other in beside)
               for run, beside in starts_beyond_limit(world.executors, callers.limits)]
    broken += cancelled_runs([run for run, _ in runs], cancels, calm_from, ms())
    broken += evacuated_starts([(run, executor.zone) for run, executor in runs],
                               world.evacuations)
    started = {run.task.split(".")[0] for run, _ in runs}
    for job, statuses in answers.items():
        if job in started and all(status in (429, 503) for status in statuses):
            broken.append(f"REFUSED: {job} was answered {statuses} and has started")
        if 200 in statuses and job not in started and job not in cancels:
            broken.append(f"LOST: {job} was accepted and has not started")
    owed = {job: steps for job, steps in lasting.items()
            if job not in cancels and job not in callers.failing}
    return broken + list(lost_tasks([run for run, _ in runs], answers, owed, ms()))
