/**
Collects what a gateway has observed of engines until its peers are told.

The load that it answers: tens of gateways share the requests of a service, and each of them
sends an engine a long prompt every few seconds only. Alone it would need most of a minute to
learn how fast the engine is; the gateways of one zone together need a few seconds.
*/

/** Bound for a gateway without peers, and for one message. More than a gateway observes between two reports. */
const maxObservations = 64;
/** Range of times that peers accept. */
const range = {min: 0.001, max: 1000} as const;

type Observation = {
	/** Incarnation of the engine. */
	readonly engine: string;
	/** Time that work took, as a multiple of what it takes on an engine of speed 1. */
	readonly time: number;
};

/**
One instance a process.

@example
```
observed.add({engine: 'i-1 17', time: 1.6});
const observations = observed.take();
```
*/
export class ObservedTimes {
	#observations: Observation[] = [];

	/** Adds an observation; while there are too many, the oldest is dropped. */
	add({engine, time}: Observation): void {
		this.#observations = [...this.#observations.slice(1 - maxObservations), {engine, time: Math.min(range.max, Math.max(range.min, time))}];
	}

	/** Returns the observations since the last call. */
	take(): readonly Observation[] {
		const observations = this.#observations;
		this.#observations = [];
		return observations;
	}
}
