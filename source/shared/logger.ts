/**
Writes structured logs as JSON lines to standard error.

Standard output stays free for the answers of the command line.
*/
import process from 'node:process';
import {Roarr, ROARR, type Logger} from 'roarr';

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
export const logger: Logger = Roarr.child({program: 'cowsliprudder'});
