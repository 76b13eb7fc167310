/**
Parses one line of a log.
*/
import type {LogLine} from './log-line.js';

/**
Returns the parsed line, or undefined if it was not written by this system. Skips text
before the JSON, such as a prefix added by a log collector.

@example
```
parseLogLine('edge-1 {"context": {"event": "ready"}, "message": "ready", "time": 900}');
```
*/
export const parseLogLine = (line: string): LogLine | undefined => {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const value = JSON.parse(line.slice(start)) as Partial<LogLine>;
		return typeof value.time === 'number' && typeof value.context === 'object' && value.context !== null
			? {time: value.time, message: value.message ?? '', context: value.context}
			: undefined;
	} catch {
		// Other programs may write to the same log. Their lines are skipped.
		return undefined;
	}
};
