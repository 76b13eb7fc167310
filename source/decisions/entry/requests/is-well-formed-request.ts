/**
Detects requests that two HTTP parsers could interpret differently.

A request with more than one length, or with unusual framing, can smuggle another
request to the target; it is refused before any of it is passed on.
*/

const namesOf = (rawHeaders: readonly string[]): readonly string[] => rawHeaders.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase());

const valuesOf = (rawHeaders: readonly string[], wanted: string): readonly string[] => rawHeaders
	.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === wanted);

const validName = /^[!#$%&'*+\-.^`|~\w]+$/;

/**
True when the request target and the framing can be interpreted in one way only.

@example
```
isWellFormedRequest('/lots/7', ['Host', 'a.example', 'Content-Length', '3', 'Content-Length', '4']); // false
```
*/
export const isWellFormedRequest = (requestTarget: string, rawHeaders: readonly string[]): boolean => {
	const lengths = valuesOf(rawHeaders, 'content-length');
	const codings = valuesOf(rawHeaders, 'transfer-encoding');
	return requestTarget.startsWith('/')
		&& namesOf(rawHeaders).every(name => validName.test(name))
		&& valuesOf(rawHeaders, 'host').length === 1
		&& lengths.length <= 1
		&& lengths.every(length => /^\d+$/.test(length))
		&& codings.length <= 1
		&& codings.every(coding => coding.trim().toLowerCase() === 'chunked')
		&& !(lengths.length > 0 && codings.length > 0);
};
