/**
Decides whether another gateway may send a long prompt to an engine.

The load it answers: more long prompts arrive than engines read, so every gateway
has some that wait. An engine ends what it reads in batches; at that moment all
gateways see it idle, and each fills it up to the bound, as none knows of the
others yet: with five gateways an engine that should have a quarter of a second
before it gets more than one. So each engine has one gateway that is asked first,
and that counts what it grants.
*/
import {hasRoom} from './engine-room.js';
import type {EngineView} from './engine-view.js';

/** Reading beyond what the asking gateway assumed up to which its choice is taken to hold. */
const toleratedMilliseconds = 50;

type Ask = {readonly lane: 'onTime' | 'late'; readonly assumedMilliseconds: number};

/**
True when the prompt may be sent now; else its gateway chooses again, knowing better.

@example
```
grantRead(view, {lane: 'onTime', assumedMilliseconds: 40});
```
*/
export const grantRead = (view: Pick<EngineView, 'role' | 'slots' | 'attempts' | 'readMilliseconds'>, {lane, assumedMilliseconds}: Ask): boolean =>
	hasRoom(view, lane) && view.readMilliseconds <= assumedMilliseconds + toleratedMilliseconds;
