/**
The output of the engine stand-in, computed so that a caller can check it.
*/
import createHasher from 'xxhash-wasm';

const hasher = await createHasher();
const emittedTokens = /(?: <[\da-f]{8}\.\d+>)+$/;

/**
Returns token `index` (from 0) of the answer to `prompt`.

A prompt that ends in tokens of its own answer gives the tokens that follow, as
a model does that is asked to go on.

@example
```
answerToken('an oak flitch', 0); // ' <1f2e3d4c.0>'
```
*/
export const answerToken = (prompt: string, index: number): string => {
	const emitted = emittedTokens.exec(prompt)?.[0] ?? '';
	const base = emitted === '' ? prompt : prompt.slice(0, -emitted.length);
	const offset = emitted === '' ? 0 : emitted.split(' ').length - 1;
	return ` <${hasher.h32ToString(base)}.${index + offset}>`;
};
