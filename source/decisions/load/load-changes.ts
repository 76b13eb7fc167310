/**
Determines which loads have changed since they were last reported.

The load that it answers: bursts of short prompts beside long ones, at many gateways. A long
prompt occupies an engine for a tenth of a second. Short prompts that another gateway sends
there meanwhile wait behind it, although other engines are idle. So the gateways of one
availability zone tell each other several times a second what has changed.
*/

type Load = {readonly id: string; readonly attempts: number; readonly readMilliseconds: number};

/** Changes of a prefill backlog below this are not worth a message. */
const minBacklogChangeMilliseconds = 3;

const isChanged = (load: Load, reported: Load | undefined): boolean => load.attempts !== (reported?.attempts ?? 0)
	|| Math.abs(load.readMilliseconds - (reported?.readMilliseconds ?? 0)) >= minBacklogChangeMilliseconds;

/**
One instance a report. It keeps what was reported last.

@example
```
const rows = changes.take([{id: 'engine-3', attempts: 2, readMilliseconds: 94}]);
```
*/
export class LoadChanges {
	readonly #reported = new Map<string, Load>();

	/** Returns the loads that have changed, and counts them as reported. A target that is missing from `loads` has none. */
	take(loads: readonly Load[]): readonly Load[] {
		const current = new Map(loads.map(load => [load.id, load]));
		const ended = [...this.#reported.keys()].filter(id => !current.has(id)).map(id => ({id, attempts: 0, readMilliseconds: 0}));
		const changed = [...loads, ...ended].filter(load => isChanged(load, this.#reported.get(load.id)));
		for (const load of changed) {
			this.#record(load);
		}

		return changed;
	}

	#record(load: Load): void {
		if (load.attempts === 0 && load.readMilliseconds === 0) {
			this.#reported.delete(load.id);
		} else {
			this.#reported.set(load.id, load);
		}
	}
}
