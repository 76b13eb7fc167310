/**
Decides how long a gateway waits between two passes over its queue of prompts.

A pass sorts the queue and compares engines, so it costs more the more prompts wait. In a
burst the queue is longest just when requests and answers need the processor most. At a
fixed interval the passes would then take most of it, every request would be read late,
and the queue would grow further. So the pause grows with the time that the last pass took.
*/

/** Shortest pause: engines report free capacity in steps of a few milliseconds. */
const minPauseMilliseconds = 8;
/** Longest pause, so that a single slow pass does not leave engines idle. */
const maxPauseMilliseconds = 60;
/** The pause as a multiple of the time that the last pass took: passes take a fifth of the time at most. */
const pauseFactor = 4;

/**
Returns the pause after a pass, in milliseconds.

@example
```
queuePassPause(5); // 20
```
*/
export const queuePassPause = (passMilliseconds: number): number => Math.min(maxPauseMilliseconds, Math.max(minPauseMilliseconds, passMilliseconds * pauseFactor));
