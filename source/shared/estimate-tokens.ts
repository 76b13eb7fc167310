/**
Token estimate used before an engine has counted.
*/

const bytesPerToken = 4;

/**
Estimates the tokens of a text from its length.

@example
```
estimateTokens('an oak flitch'); // 4
```
*/
export const estimateTokens = (text: string): number => Math.ceil(text.length / bytesPerToken);
