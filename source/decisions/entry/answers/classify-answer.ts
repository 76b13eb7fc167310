/**
Decides whether an answer is this request's, and what it means, from its head and from what its connection has carried.

An answer may belong to another request, arrive twice, or come from something other than the
target that was asked. A faulty target may write an earlier answer once more on a kept
connection, so that it is read in the place of the next one.

| Id in the answer | Connection | Answer |
| --- | --- | --- |
| of another request | any | `foreign` |
| any | has carried this request before | `unattributed`: the id does not tell its attempts apart |
| none, a refusal | has carried another request | `unattributed`: may be the refusal of that one |
| none, a refusal | has carried nothing | this request's: there is no other that it could be of |
| none, not a refusal | any | `foreign`: targets name the request in each answer |
| of this request, a status that promises that it has not run, without saying so itself | has not carried it before | `failure`: it may have run |
| of this request, a success that is unsigned or encoded | any | `foreign` |
| of this request | has not carried it before | this request's |
*/
import type {AnswerFacts} from '../../../fleet/answer-facts.js';
import type {ConnectionHistory} from '../../../fleet/connection-history.js';
import {saysNotRun} from './says-not-run.js';

/**
- `answer`: the target's own answer, to be passed on unchanged.
- `failure`: the target ran the request, or may have, and failed; the request may be retried elsewhere if it is repeatable.
- `not run`: the target says that it did not run the request.
- `other target`: the address belongs to another target now; not run.
- `foreign`: not the answer of this request; whether the request ran is unknown.
- `unattributed`: may be the answer to an earlier request or attempt; whether this request ran is unknown.
*/
type AnswerKind = 'answer' | 'failure' | 'not run' | 'other target' | 'foreign' | 'unattributed';

type AskedRequest = {
	readonly requestId: string;
	/** False for answers that the system itself consumes; targets do not sign those. */
	readonly isForCaller: boolean;
	/** What the connection carried before this request. */
	readonly history: ConnectionHistory;
};

const firstServerErrorStatus = 500;

const isUsable = ({status, isSigned, isEncoded}: AnswerFacts, isForCaller: boolean): boolean => {
	const isSuccess = status >= 200 && status < 300;
	return !isSuccess || ((isSigned || !isForCaller) && !isEncoded);
};

/**
Returns what an answer means for the request that was asked.

@example
```
classifyAnswer(facts, {requestId: '9c41d07be2a35f68', isForCaller: true, history: {isUsed: false, hasCarriedRequest: false}}); // 'answer'
```
*/
export const classifyAnswer = (facts: AnswerFacts, {requestId, isForCaller, history}: AskedRequest): AnswerKind => {
	const isRefusal = facts.isOtherTarget || facts.isNotRun;
	const isUnnamedRefusal = isRefusal && facts.requestId === undefined;
	if (facts.requestId !== requestId && !isUnnamedRefusal) {
		return 'foreign';
	}

	if (history.hasCarriedRequest || (isUnnamedRefusal && history.isUsed)) {
		return 'unattributed';
	}

	if (isRefusal) {
		return facts.isOtherTarget ? 'other target' : 'not run';
	}

	if (facts.status >= firstServerErrorStatus || saysNotRun(facts.status)) {
		return 'failure';
	}

	return isUsable(facts, isForCaller) ? 'answer' : 'foreign';
};
