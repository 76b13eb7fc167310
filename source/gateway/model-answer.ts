/**
Writes the answer of a model request to its caller, streamed or as one body.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {describeCode} from '../shared/describe-code.js';
import type {CallerSink} from './caller-sink.js';
import {createErrorBody} from './create-error-body.js';
import {retryAfterSeconds} from './retry-after-seconds.js';

type ModelAnswerOptions = {
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly model: string;
	readonly isChat: boolean;
	readonly isStreamed: boolean;
};

/**
Answer in the format of OpenAI's API. A stream that cannot be completed ends with an
`error` event and without `[DONE]`, so that a caller does not take it for complete.

@example
```
const sink = new ModelAnswer({response, requestId, model, isChat: false, isStreamed: true});
```
*/
export class ModelAnswer implements CallerSink {
	#text = '';
	#chunkCount = 0;
	readonly #options: ModelAnswerOptions;

	constructor(options: ModelAnswerOptions) {
		this.#options = options;
	}

	write(text: string): void {
		this.#chunkCount += 1;
		if (!this.#options.isStreamed) {
			this.#text += text;
			return;
		}

		this.#writeHead(200, 'text/event-stream');
		this.#writeEvent(this.#createCompletion({...this.#options.isChat ? {delta: {content: text}} : {text}, finish_reason: null})); // eslint-disable-line @typescript-eslint/naming-convention
	}

	complete(_status: number, finishReason: string): void {
		const {isChat, isStreamed} = this.#options;
		if (isStreamed) {
			this.#writeHead(200, 'text/event-stream');
			this.#writeEvent(this.#createCompletion({...isChat ? {delta: {}} : {text: ''}, finish_reason: finishReason})); // eslint-disable-line @typescript-eslint/naming-convention
			this.#options.response.end('data: [DONE]\n\n');
			return;
		}

		const content = isChat ? {message: {role: 'assistant', content: this.#text}} : {text: this.#text};
		this.#sendJson(200, {
			...this.#createCompletion({...content, finish_reason: finishReason}), // eslint-disable-line @typescript-eslint/naming-convention
			usage: {completion_tokens: this.#chunkCount}, // eslint-disable-line @typescript-eslint/naming-convention
		});
	}

	refuse(code: number, retryAfterMilliseconds: number): void {
		if (!this.#options.response.headersSent) {
			this.#options.response.setHeader('retry-after', retryAfterSeconds(retryAfterMilliseconds));
		}

		this.fail(code);
	}

	fail(code: number): void {
		const body = createErrorBody(code, this.#options.requestId);
		if (this.#options.response.headersSent) {
			this.#options.response.end(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
			return;
		}

		this.#sendJson(describeCode(code).status, body);
	}

	#createCompletion(choice: Readonly<Record<string, unknown>>) {
		const {requestId, model, isChat} = this.#options;
		return {
			id: requestId, object: isChat ? this.#chatObjectType : 'text_completion', model, choices: [{index: 0, ...choice}],
		};
	}

	get #chatObjectType(): string {
		return this.#options.isStreamed ? 'chat.completion.chunk' : 'chat.completion';
	}

	#writeHead(status: number, contentType: string): void {
		if (!this.#options.response.headersSent) {
			this.#options.response.writeHead(status, {'content-type': contentType, 'x-request-id': this.#options.requestId});
		}
	}

	#writeEvent(value: unknown): void {
		this.#options.response.write(`data: ${JSON.stringify(value)}\n\n`);
	}

	#sendJson(status: number, value: unknown): void {
		const text = JSON.stringify(value);
		this.#options.response.setHeader('content-length', Buffer.byteLength(text));
		this.#writeHead(status, 'application/json');
		this.#options.response.end(text);
	}
}
