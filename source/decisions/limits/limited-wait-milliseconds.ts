/**
Estimates how long a request waits for targets that all have a rate limit.
*/

type LimitedTarget = {
	/** Permits a second that this gateway can expect; undefined for a target without a limit. */
	readonly permitsPerSecond?: number | undefined;
};

/**
Returns the time, in milliseconds, until a request behind so many others gets a permit; 0 while a target takes requests without one.

@example
```
limitedWaitMilliseconds([{permitsPerSecond: 3}, {permitsPerSecond: 1}], 2); // 750
```
*/
export const limitedWaitMilliseconds = (targets: readonly LimitedTarget[], ahead: number): number => {
	if (targets.length === 0 || targets.some(({permitsPerSecond}) => permitsPerSecond === undefined)) {
		return 0;
	}

	return (ahead + 1) * 1000 / targets.reduce((sum, {permitsPerSecond = 0}) => sum + permitsPerSecond, 0);
};
