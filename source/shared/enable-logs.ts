/**
Enables the log library before it is loaded.

Roarr creates a logger that writes nothing unless `ROARR_LOG` is set when the library
is first loaded. Processes of this system log by default; the environment can turn
logging off.
*/
import process from 'node:process';

process.env.ROARR_LOG ??= 'true';

/** True if this process writes logs. */
export const isLoggingEnabled = process.env.ROARR_LOG === 'true';
