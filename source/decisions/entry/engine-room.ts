/**
Decides whether an engine has room for one more prompt.
*/
import type {EngineView} from './engine-view.js';

/** Reading that an engine may have before it, in milliseconds, for work that can be on time and for late work. */
const mostBacklog = {onTime: 260, late: 150} as const;
/** The same for reading in place, between the tokens of others. */
const mostBacklogInPlace = {onTime: 45, late: 25} as const;
/** Part of a decode engine's places that is used; the fuller, the slower each token comes. */
const usedSlots = 0.85;

type Lane = 'onTime' | 'late';

/**
True when the engine may get a prompt of that lane.

@example
```
hasRoom(view, 'onTime');
```
*/
export const hasRoom = ({role, slots, attempts, readMilliseconds}: Pick<EngineView, 'role' | 'slots' | 'attempts' | 'readMilliseconds'>, lane: Lane): boolean => role === 'prefill'
	? readMilliseconds < mostBacklog[lane]
	: attempts < slots * usedSlots && readMilliseconds < mostBacklogInPlace[lane];
