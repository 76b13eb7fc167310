/**
Writes the answer of a call to a plain service to its caller.
*/
import type {ServerResponse} from 'node:http';
import {describeCode} from '../shared/describe-code.js';
import type {CallerSink} from './caller-sink.js';
import {createErrorBody} from './create-error-body.js';
import {retryAfterSeconds} from './retry-after-seconds.js';

/**
Passes on the target's status, and its body in one piece.

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
		this.#response.end(JSON.stringify(createErrorBody(code, this.#requestId)));
	}
}
