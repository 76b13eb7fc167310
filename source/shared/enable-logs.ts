/**
Turns the log library on before it is loaded.

The library makes a silent logger unless this variable is set when it is first
loaded; a process of ours always logs, unless its environment says otherwise.
*/
import process from 'node:process';

process.env.ROARR_LOG ??= 'true';

/** True when this process writes logs. */
export const hasLogs = process.env.ROARR_LOG === 'true';
