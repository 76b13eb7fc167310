/**
How long an engine takes to read and to hand over a prompt.

The figures are those of the users' engines; docs/CAPACITY.md has the slopes.
*/

/** Prompt tokens that an engine reads in a millisecond while it does nothing else. */
const tokensPerMillisecond = 61.4;
/** Each token read attends to all before it: milliseconds for a million such pairs. */
const millisecondsPerMillionPairs = 0.525;
/** Time to set a transfer between engines up. */
const transferSetupMilliseconds = 4;
const otherZoneFactor = 2;

type Transfer = {readonly tokens: number; readonly bytesPerToken: number; readonly linkMegabitsPerSecond: number; readonly isSameZone: boolean};

/**
Times in milliseconds on an engine that does nothing else.

@example
```
engineSpeed.read(3720, 13_300); // 94
```
*/
export const engineSpeed = {
	/** Reading `unread` tokens behind `kept` ones. */
	read(unread: number, kept: number): number {
		const pairs = unread * (kept + (unread / 2));
		return (unread / tokensPerMillisecond) + (pairs / 1_000_000 * millisecondsPerMillionPairs);
	},

	/** Moving what was read of some tokens to another engine. */
	transfer({tokens, bytesPerToken, linkMegabitsPerSecond, isSameZone}: Transfer): number {
		const bits = tokens * bytesPerToken * 8;
		return transferSetupMilliseconds + (bits / (linkMegabitsPerSecond * 1000) * (isSameZone ? 1 : otherZoneFactor));
	},
} as const;
