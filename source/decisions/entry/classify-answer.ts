/**
Classifies the head of an answer before any of it is passed on to the caller.

An answer may belong to another request, arrive twice, or come from something
other than the target that was asked. An answer is accepted for this request only
if it names the request or refuses it as not run.
*/
import type {AnswerFacts} from '../../fleet/answer-facts.js';

/**
- `answer`: the target's own answer, to be passed on unchanged.
- `failure`: the target ran the request and failed; the request may be retried elsewhere if it is repeatable.
- `not run`: the target says that it did not run the request.
- `other target`: the address belongs to another target now; not run.
- `foreign`: not the answer of this request; whether the request ran is unknown.
*/
type AnswerKind = 'answer' | 'failure' | 'not run' | 'other target' | 'foreign';

const firstServerErrorStatus = 500;

/**
Returns what an answer means for the request with this id.

`isForCaller` is false for answers that the system itself consumes; targets do not sign those.

@example
```
classifyAnswer(facts, '9c41d07be2a35f68', true); // 'answer'
```
*/
export const classifyAnswer = (facts: AnswerFacts, requestId: string, isForCaller: boolean): AnswerKind => {
	const isSameRequest = facts.requestId === requestId;
	if (facts.isOtherTarget) {
		return facts.requestId === undefined || isSameRequest ? 'other target' : 'foreign';
	}

	if (facts.isNotRun) {
		return facts.requestId === undefined || isSameRequest ? 'not run' : 'foreign';
	}

	if (!isSameRequest) {
		return 'foreign';
	}

	if (facts.status >= firstServerErrorStatus) {
		return 'failure';
	}

	const isSuccess = facts.status >= 200 && facts.status < 300;
	return isSuccess && ((isForCaller && !facts.isSigned) || facts.isEncoded) ? 'foreign' : 'answer';
};
