/**
Tells proper requests from those that two readers could take for different ones.

A request whose length is said twice, or whose framing is odd, can hide another
request inside; it is refused before anything of it is passed on.
*/

const namesOf = (rawHeaders: readonly string[]): readonly string[] => rawHeaders.filter((_, index) => index % 2 === 0).map(name => name.toLowerCase());

const valuesOf = (rawHeaders: readonly string[], wanted: string): readonly string[] => rawHeaders
	.filter((_, index) => index % 2 === 1 && rawHeaders[index - 1]!.toLowerCase() === wanted);

const plainName = /^[!#$%&'*+\-.^`|~\w]+$/;

/**
True when the request's target and framing can be read in one way only.

@example
```
isProperRequest('/lots/7', ['Host', 'a.example', 'Content-Length', '3', 'Content-Length', '4']); // false
```
*/
export const isProperRequest = (target: string, rawHeaders: readonly string[]): boolean => {
	const lengths = valuesOf(rawHeaders, 'content-length');
	const codings = valuesOf(rawHeaders, 'transfer-encoding');
	return target.startsWith('/')
		&& namesOf(rawHeaders).every(name => plainName.test(name))
		&& valuesOf(rawHeaders, 'host').length === 1
		&& lengths.length <= 1
		&& lengths.every(length => /^\d+$/.test(length))
		&& codings.length <= 1
		&& codings.every(coding => coding.trim().toLowerCase() === 'chunked')
		&& !(lengths.length > 0 && codings.length > 0);
};
