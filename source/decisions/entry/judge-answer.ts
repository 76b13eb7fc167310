/**
Judges the head of an answer before anything of it reaches a caller.

Answers cross, come twice or are made by something else than the target that was
asked. Only an answer that names this request, or refuses without having run it,
is taken for its own.
*/
import type {AnswerFacts} from '../../fleet/answer-facts.js';

/**
- `answer`: the target's own answer, to be passed on unchanged.
- `failure`: the target ran the request and failed; may be tried elsewhere if that does no harm.
- `not run`: the target says that it did not run the request.
- `other target`: the address belongs to another target now; not run.
- `foreign`: not this request's answer; whether the request ran is not known.
*/
type Judgement = 'answer' | 'failure' | 'not run' | 'other target' | 'foreign';

const firstFailure = 500;

/**
Returns what an answer is to the request with this id.

`isForCaller` is false for answers that are meant for the system, which targets do not sign.

@example
```
judgeAnswer(facts, '9c41d07be2a35f68', true); // 'answer'
```
*/
export const judgeAnswer = (facts: AnswerFacts, requestId: string, isForCaller: boolean): Judgement => {
	const isNamed = facts.requestId === requestId;
	if (facts.isOtherTarget) {
		return facts.requestId === undefined || isNamed ? 'other target' : 'foreign';
	}

	if (facts.isNotRun) {
		return facts.requestId === undefined || isNamed ? 'not run' : 'foreign';
	}

	if (!isNamed) {
		return 'foreign';
	}

	if (facts.status >= firstFailure) {
		return 'failure';
	}

	const isSuccess = facts.status >= 200 && facts.status < 300;
	return isSuccess && ((isForCaller && !facts.isSigned) || facts.isEncoded) ? 'foreign' : 'answer';
};
