/**
Writes structured logs as JSON lines to standard error.

Standard output is reserved for the output of commands.
*/
import process from 'node:process';
// Import order matters: `enable-logs` sets `ROARR_LOG`, which Roarr reads when it is loaded.
import {isLoggingEnabled} from './enable-logs.js';
import {Roarr, ROARR, type Logger} from 'roarr'; // eslint-disable-line import-x/order

ROARR.write = line => {
	process.stderr.write(`${line}\n`);
};

/**
Root logger. Each module creates a child logger with its own context.

@example
```
const log = logger.child({module: 'target-links'});
log.warn({target: 'engine-3'}, 'link silent; opening a new one');
```
*/
export const logger: Logger = isLoggingEnabled ? Roarr.child({program: 'cowsliprudder'}) : Roarr;
