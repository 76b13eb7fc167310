/**
Writes structured logs as JSON lines to standard error.

Standard output stays free for the answers of the command line.
*/
import process from 'node:process';
// The order matters: the variable must be set before the log library is loaded.
import {hasLogs} from './enable-logs.js';
import {Roarr, ROARR, type Logger} from 'roarr'; // eslint-disable-line import-x/order

ROARR.write = line => {
	process.stderr.write(`${line}\n`);
};

/**
The logger that every module extends with its own context.

@example
```
const log = logger.child({module: 'target-links'});
log.warn({target: 'engine-3'}, 'link silent; opening a new one');
```
*/
export const logger: Logger = hasLogs ? Roarr.child({program: 'cowsliprudder'}) : Roarr;
