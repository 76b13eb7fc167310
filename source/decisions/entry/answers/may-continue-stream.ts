/**
Decides whether an answer may go on with a stream of which events have been passed on already.

An engine that fails may answer with a success whose body is the text of an error. Where the first
engine has said that it sends a stream, one that goes on with it says so too.
*/
import type {AnswerFacts} from '../../../fleet/answer-facts.js';

type Head = Pick<AnswerFacts, 'headers'>;

const isTyped = ({headers}: Head): boolean => headers['content-type'] !== undefined;

/**
Returns true for a head that is typed if the first one was; `isEventStream` says whether that type is the right one.

@example
```
mayContinueStream({headers: {'content-type': 'text/event-stream'}}, {headers: {}}); // false
```
*/
export const mayContinueStream = (first: Head, next: Head): boolean => isTyped(next) || !isTyped(first);
