/**
Estimates the token count of a text for which no engine has reported a count yet.
*/

const bytesPerToken = 4;

/**
Returns the estimated number of tokens, computed from the length of the text.

@example
```
estimateTokens('an oak flitch'); // 4
```
*/
export const estimateTokens = (text: string): number => Math.ceil(text.length / bytesPerToken);
