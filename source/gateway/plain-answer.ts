/**
Writes the answer of a plain call to its caller.
*/
import type {ServerResponse} from 'node:http';
import {describeCode} from '../shared/describe-code.js';
import type {CallerSink} from './caller-sink.js';
import {refusalBody} from './refusal-body.js';
import {retryAfterSeconds} from './retry-after-seconds.js';

/**
The target's own status and body, passed on whole.

@example
```
const sink = new PlainAnswer(response, requestId);
```
*/
export class PlainAnswer implements CallerSink {
	#text = '';
	readonly #response: ServerResponse;
	readonly #requestId: string;

	constructor(response: ServerResponse, requestId: string) {
		this.#response = response;
		this.#requestId = requestId;
	}

	write(text: string): void {
		this.#text += text;
	}

	complete(status: number, _finishReason: string, contentType: string): void {
		this.#response.writeHead(status, {'content-type': contentType, 'x-request-id': this.#requestId});
		this.#response.end(this.#text);
	}

	refuse(code: number, retryAfterMilliseconds: number): void {
		this.#response.setHeader('retry-after', retryAfterSeconds(retryAfterMilliseconds));
		this.fail(code);
	}

	fail(code: number): void {
		this.#response.writeHead(describeCode(code).status, {'content-type': 'application/json', 'x-request-id': this.#requestId});
		this.#response.end(JSON.stringify(refusalBody(code, this.#requestId)));
	}
}
