/**
Promise-based delay.
*/

/**
Returns a promise that resolves after `milliseconds`.

@example
```
await pause(250);
```
*/
export const pause = async (milliseconds: number): Promise<void> => {
	await new Promise(resolve => {
		setTimeout(resolve, milliseconds);
	});
};
