/**
The timers of the process.
*/
import type {Timers} from './timers.js';

/**
Runs on the event loop, as late as the loop is busy.

@example
```
const cancel = systemTimers.every(200, () => exchange.tick());
```
*/
export const systemTimers: Timers = {
	after(milliseconds, act) {
		const timer = setTimeout(act, milliseconds);
		return () => {
			clearTimeout(timer);
		};
	},
	every(milliseconds, act) {
		const timer = setInterval(act, milliseconds);
		return () => {
			clearInterval(timer);
		};
	},
};
