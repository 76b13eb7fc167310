/**
Estimates what the head of a request takes of the heap until the request is answered.

Its text is kept and forwarded, each header is an entry of lists, and what a header lists, such as
the parts of a prompt, becomes objects of its own.
*/

/** Of a request with a short head: what its relay, its log lines and its timers hold. */
const requestBytes = 4096;
/** For each byte of the head: the text itself, and what is joined of it. */
const textFactor = 2;
/** For each name and each value. */
const headerBytes = 64;
/** For each element of a value that is a list. */
const elementBytes = 100;
const comma = 0x2C;

const countElements = (value: string): number => {
	let count = 0;
	for (let index = 0; index < value.length; index++) {
		count += value.charCodeAt(index) === comma ? 1 : 0; // eslint-disable-line unicorn/prefer-code-point
	}

	return count;
};

/**
Returns bytes; `rawHeaders` has names and values in turn, `target` is what the request line names.

@example
```
headCost(['X-Request-Id', '9c41'], '/bids/1'); // 4270
```
*/
export const headCost = (rawHeaders: readonly string[], target: string): number => rawHeaders.reduce(
	(sum, text) => sum + headerBytes + (text.length * textFactor) + (countElements(text) * elementBytes),
	requestBytes + (target.length * textFactor),
);
