/**
Decides whether an engine has capacity for one more prompt.
*/
import type {EngineView} from './engine-view.js';

/** Prefill backlog, in milliseconds of the engine's own time, below which a prefill engine takes a prompt that can be on time, and one that is late. */
const maxBacklog = {onTime: 260, late: 150} as const;
/** The same for a decode engine, which prefills in place, between the decode steps of other requests. */
const maxBacklogInPlace = {onTime: 45, late: 25} as const;
/** Share of a decode engine's slots that may be in use. The more are in use, the slower each token comes. */
const maxUsedSlotShare = 0.85;

type Lane = 'onTime' | 'late';

/**
True when the engine may get a prompt of that lane.

@example
```
hasCapacity(view, 'onTime');
```
*/
export const hasCapacity = ({role, slots, attempts, readMilliseconds, speed = 1, permits}: Pick<EngineView, 'role' | 'slots' | 'attempts' | 'readMilliseconds' | 'speed' | 'permits'>, lane: Lane): boolean => {
	if (permits === 0) {
		return false;
	}

	return role === 'prefill'
		? readMilliseconds / speed < maxBacklog[lane]
		: attempts < slots * maxUsedSlotShare && readMilliseconds / speed < maxBacklogInPlace[lane];
};
