/**
Reads one line of a log.
*/
import type {LogLine} from './log-line.js';

/**
Returns the line, or undefined when it is none of ours; words before the JSON, as
a collector puts there, are passed over.

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
		// Other programs may write between our lines; what is no line of ours is passed over.
		return undefined;
	}
};
