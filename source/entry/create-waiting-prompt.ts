/**
Describes a request as a prompt that waits for an engine.
*/
import type {sharedPrefix} from '../decisions/entry/prompts/shared-prefix.js';
import type {WaitingPrompt} from '../decisions/entry/prompts/waiting-prompt.js';
import type {CallerRequest} from './caller-request.js';
import type {EntryContext} from './entry-context.js';

type PromptState = {
	readonly sharedPrefix: ReturnType<typeof sharedPrefix>;
	/** Engines that must not be used for it. */
	readonly avoid: ReadonlySet<string>;
	/** True when its caller has got events already. */
	readonly isContinued: boolean;
	/** True when its prompt may be prefilled at another engine than the decode engine; reserves the retries that this needs. */
	readonly mayPrefillSeparately: () => boolean;
};

/**
Returns the prompt to enqueue. The caller of a continued stream waits for its next event from now on.

@example
```
const withdraw = queues.enqueue(request.service, createWaitingPrompt(request, context, state), resolve);
```
*/
export const createWaitingPrompt = ({facts, route, team, body, startedAt, deadlineAt}: CallerRequest, {fairness, now}: EntryContext, {sharedPrefix: {parts, key, tokens}, avoid, isContinued, mayPrefillSeparately}: PromptState): WaitingPrompt => ({
	id: facts.requestId,
	...fairness.accountOf(team),
	kind: route.name,
	priority: route.priority,
	dueAt: startedAt + route.targetLatencyMilliseconds,
	giveUpAt: Math.min(deadlineAt, (isContinued ? now() : startedAt) + route.firstEventPatienceMilliseconds),
	tokens: facts.prompt?.tokens ?? 0,
	sharedParts: parts,
	sharedKey: key,
	sharedTokens: tokens,
	bodyBytes: body?.byteLength ?? 0,
	avoid,
	// A continued stream is not split: its decode engine prefills the prompt and the events so far itself.
	isInPlaceOnly: isContinued || !mayPrefillSeparately(),
});
