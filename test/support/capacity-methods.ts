/**
The ways of learning that docs/design/learned-capacity.md compares.
*/
import {LearnedCapacity} from '../../source/decisions/capacity/learned-capacity.js';
import type {CapacityMethod} from './capacity-method.js';

/** Latency beyond the shortest one, as a factor, from which additive increase takes a target for overloaded. */
const slowFactor = 2;
const decrease = 0.9;
/** Weights of the newest time in the short and the long average of the gradient. */
const averageWeights = {short: 0.2, long: 0.01} as const;

type Limit = {limit: number; shortest: number; short: number; long: number};

/** Keeps one limit a target, which `change` adapts to each outcome. */
const limitMethod = (change: (state: Limit, milliseconds: number, running: number) => number): CapacityMethod => {
	const states = new Map<string, Limit>();
	return {
		record({incarnation, slots}, {milliseconds, running}) {
			const state = states.get(incarnation) ?? {
				limit: slots, shortest: milliseconds, short: milliseconds, long: milliseconds,
			};
			states.set(incarnation, state);
			state.shortest = Math.min(state.shortest, milliseconds);
			state.short += averageWeights.short * (milliseconds - state.short);
			state.long += averageWeights.long * (milliseconds - state.long);
			state.limit = Math.min(slots, Math.max(1, change(state, milliseconds, running)));
		},
		figures: ({incarnation}) => ({capacity: states.get(incarnation)?.limit}),
	};
};

const learned = (parts: {readonly hasLimit: boolean; readonly hasReports: boolean}): CapacityMethod => {
	const capacity = new LearnedCapacity();
	return {
		record(target, {milliseconds, running, load}, now) {
			capacity.recordCall(target, {milliseconds, running}, now);
			if (load !== undefined && parts.hasReports) {
				capacity.recordLoad(target, load, now);
			}
		},
		figures(target, now) {
			const {speed, limit, callMilliseconds, reported} = capacity.of(target, now);
			return {
				speed, capacity: parts.hasLimit ? limit : undefined, callMilliseconds, slowdown: reported?.slowdown, reportedRequests: reported?.requests,
			};
		},
	};
};

/**
Each creates the state of one gateway.

@example
```
const method = capacityMethods['fixed weights']();
```
*/
export const capacityMethods = {
	'fixed weights': (): CapacityMethod => ({record: () => undefined, figures: () => ({})}),
	'additive increase, multiplicative decrease': (): CapacityMethod => limitMethod(({limit, short, shortest}, _milliseconds, running) =>
		short > shortest * slowFactor ? limit * decrease : limit + (running >= limit / 2 ? 1 / limit : 0)),
	'gradient of latency': (): CapacityMethod => limitMethod(({limit, long, short}) => {
		const gradient = Math.min(1, Math.max(0.5, long / short));
		return (limit * 0.8) + (0.2 * ((limit * gradient) + Math.sqrt(limit)));
	}),
	'learned speed only': (): CapacityMethod => learned({hasLimit: false, hasReports: false}),
	'throughput against concurrency, with speed': (): CapacityMethod => learned({hasLimit: true, hasReports: false}),
	'the same with the reported slowdown': (): CapacityMethod => learned({hasLimit: true, hasReports: true}),
} as const;
