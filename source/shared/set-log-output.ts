/**
Where a process's log lines go.
*/
// The order matters: the variable must be set before the log library is loaded.
import {hasLogs} from './enable-logs.js';
import {ROARR} from 'roarr'; // eslint-disable-line import-x/order

/**
Sends the lines of every logger to `write` instead of standard error.

@example
```
setLogOutput(line => sink.write(line));
```
*/
export const setLogOutput = (write: (line: string) => void): void => {
	ROARR.write = hasLogs ? write : () => undefined;
};
