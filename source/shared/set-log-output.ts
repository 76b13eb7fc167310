/**
Sets the destination of the log lines of a process.
*/
// Import order matters: `enable-logs` sets `ROARR_LOG`, which Roarr reads when it is loaded.
import {isLoggingEnabled} from './enable-logs.js';
import {ROARR} from 'roarr'; // eslint-disable-line import-x/order

/**
Passes the lines of every logger to `write` instead of standard error. Discards them if
logging is disabled.

@example
```
setLogOutput(line => sink.write(line));
```
*/
export const setLogOutput = (write: (line: string) => void): void => {
	ROARR.write = isLoggingEnabled ? write : () => undefined;
};
