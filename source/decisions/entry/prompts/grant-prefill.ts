/**
Decides whether a peer gateway may send a long prompt to an engine that this gateway owns.

When more long prompts arrive than engines can prefill, every gateway has some that
wait. An engine finishes prefills in batches. At that moment all gateways see it
idle, and each fills it up to the backlog limit without knowing of the others: with
five gateways, an engine that should have a backlog of a quarter of a second gets
more than a second. So gateways ask the engine's owner first, which counts what it
grants.
*/
import {hasCapacity} from './has-capacity.js';
import type {EngineView} from './engine-view.js';

/** How far the backlog may exceed what the asking gateway assumed for its choice to hold. */
const backlogToleranceMilliseconds = 50;

type PrefillRequest = {readonly lane: 'onTime' | 'late'; readonly assumedMilliseconds: number};

/**
True when the prompt may be sent now. Otherwise the asking gateway learns the current
backlog and chooses again.

@example
```
grantPrefill(view, {lane: 'onTime', assumedMilliseconds: 40});
```
*/
export const grantPrefill = (view: Pick<EngineView, 'role' | 'slots' | 'attempts' | 'readMilliseconds' | 'speed'>, {lane, assumedMilliseconds}: PrefillRequest): boolean =>
	hasCapacity(view, lane) && view.readMilliseconds <= assumedMilliseconds + backlogToleranceMilliseconds;
