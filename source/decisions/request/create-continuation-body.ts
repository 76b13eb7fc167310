/**
Builds the body of a model request that continues output which another target began.
*/

type ModelBody = {
	readonly [other: string]: unknown;
	readonly prompt?: string;
	readonly messages?: ReadonlyArray<{readonly role?: string; readonly content: string}>;
	readonly max_tokens?: number;
};

/**
Returns a body that asks only for the output that is still missing.

The output already received (`emitted`) is appended to the prompt or, in a chat, becomes a last
assistant message that the engine continues. `max_tokens` is reduced by the parts received.

@example
```
createContinuationBody('{"prompt":"oak","max_tokens":3}', ' a', 1); // {"prompt":"oak a","max_tokens":2}
```
*/
export const createContinuationBody = (body: string, emitted: string, emittedParts: number): string => {
	if (emitted === '') {
		return body;
	}

	const parsed = JSON.parse(body) as ModelBody;
	const {messages, prompt, max_tokens: maxTokens} = parsed;
	return JSON.stringify({
		...parsed,
		...prompt === undefined ? {} : {prompt: prompt + emitted},
		...messages === undefined ? {} : {messages: appendAssistantMessage(messages, emitted), continue_final_message: true}, // eslint-disable-line @typescript-eslint/naming-convention
		...maxTokens === undefined ? {} : {max_tokens: Math.max(1, maxTokens - emittedParts)}, // eslint-disable-line @typescript-eslint/naming-convention
	});
};

const appendAssistantMessage = (messages: ReadonlyArray<{readonly role?: string; readonly content: string}>, emitted: string) =>
	[...messages, {role: 'assistant', content: emitted}];
