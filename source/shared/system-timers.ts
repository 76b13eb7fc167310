/**
Timers of the event loop.
*/
import type {Timers} from './timers.js';

/**
Schedules callbacks with `setTimeout` and `setInterval`. They run late while the event
loop is busy.

@example
```
const cancel = systemTimers.every(200, () => exchange.tick());
```
*/
export const systemTimers: Timers = {
	after(milliseconds, callback) {
		const timer = setTimeout(callback, milliseconds);
		return () => {
			clearTimeout(timer);
		};
	},
	every(milliseconds, callback) {
		const timer = setInterval(callback, milliseconds);
		return () => {
			clearInterval(timer);
		};
	},
};
