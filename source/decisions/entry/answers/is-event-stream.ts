/**
Tells an answer that is a stream of events from any other that an engine may give.

Only a stream can be continued by another engine, and only a stream consists of events
that it may end inside of.
*/
import type {AnswerFacts} from '../../../fleet/answer-facts.js';

const noContentStatus = 204;

/**
Returns true for a success whose content type is that of a stream, or that has none.

@example
```
isEventStream({status: 200, headers: {'content-type': 'text/event-stream'}}); // true
```
*/
export const isEventStream = ({status, headers}: Pick<AnswerFacts, 'status' | 'headers'>): boolean => {
	const contentType = String(headers['content-type'] ?? 'text/event-stream');
	const isSuccess = status >= 200 && status < 300 && status !== noContentStatus;
	return isSuccess && contentType.trim().toLowerCase().startsWith('text/event-stream');
};
