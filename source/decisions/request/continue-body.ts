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
continueBody('{"prompt":"oak","max_tokens":3}', ' a', 1); // {"prompt":"oak a","max_tokens":2}
```
*/
export const continueBody = (body: string, emitted: string, emittedParts: number): string => {
	if (emitted === '') {
		return body;
	}

	const parsed = JSON.parse(body) as ModelBody;
	const {messages, prompt, max_tokens: mostTokens} = parsed;
	return JSON.stringify({
		...parsed,
		...prompt === undefined ? {} : {prompt: prompt + emitted},
		...messages === undefined ? {} : {messages: continueMessages(messages, emitted), continue_final_message: true}, // eslint-disable-line @typescript-eslint/naming-convention
		...mostTokens === undefined ? {} : {max_tokens: Math.max(1, mostTokens - emittedParts)}, // eslint-disable-line @typescript-eslint/naming-convention
	});
};

const continueMessages = (messages: ReadonlyArray<{readonly role?: string; readonly content: string}>, emitted: string) =>
	[...messages, {role: 'assistant', content: emitted}];
