/**
Writes the answer of a model request to its caller, streamed or whole.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {describeCode} from '../shared/describe-code.js';
import type {CallerSink} from './caller-sink.js';
import {refusalBody} from './refusal-body.js';
import {retryAfterSeconds} from './retry-after-seconds.js';

type ModelAnswerOptions = {
	readonly response: ServerResponse;
	readonly requestId: string;
	readonly model: string;
	readonly isChat: boolean;
	readonly isStreamed: boolean;
};

/**
The OpenAI form of an answer. A stream that cannot be completed ends in an
`error` event and without `[DONE]`, so that a caller never takes it for whole.

@example
```
const sink = new ModelAnswer({response, requestId, model, isChat: false, isStreamed: true});
```
*/
export class ModelAnswer implements CallerSink {
	#text = '';
	#parts = 0;
	readonly #options: ModelAnswerOptions;

	constructor(options: ModelAnswerOptions) {
		this.#options = options;
	}

	write(text: string): void {
		this.#parts += 1;
		if (!this.#options.isStreamed) {
			this.#text += text;
			return;
		}

		this.#open(200, 'text/event-stream');
		this.#event(this.#chunk({...this.#options.isChat ? {delta: {content: text}} : {text}, finish_reason: null})); // eslint-disable-line @typescript-eslint/naming-convention
	}

	complete(_status: number, finishReason: string): void {
		const {isChat, isStreamed} = this.#options;
		if (isStreamed) {
			this.#open(200, 'text/event-stream');
			this.#event(this.#chunk({...isChat ? {delta: {}} : {text: ''}, finish_reason: finishReason})); // eslint-disable-line @typescript-eslint/naming-convention
			this.#options.response.end('data: [DONE]\n\n');
			return;
		}

		const content = isChat ? {message: {role: 'assistant', content: this.#text}} : {text: this.#text};
		this.#sendWhole(200, {
			...this.#chunk({...content, finish_reason: finishReason}), // eslint-disable-line @typescript-eslint/naming-convention
			usage: {completion_tokens: this.#parts}, // eslint-disable-line @typescript-eslint/naming-convention
		});
	}

	refuse(code: number, retryAfterMilliseconds: number): void {
		if (!this.#options.response.headersSent) {
			this.#options.response.setHeader('retry-after', retryAfterSeconds(retryAfterMilliseconds));
		}

		this.fail(code);
	}

	fail(code: number): void {
		const body = refusalBody(code, this.#options.requestId);
		if (this.#options.response.headersSent) {
			this.#options.response.end(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
			return;
		}

		this.#sendWhole(describeCode(code).status, body);
	}

	#chunk(choice: Readonly<Record<string, unknown>>) {
		const {requestId, model, isChat} = this.#options;
		return {
			id: requestId, object: isChat ? this.#chatObject : 'text_completion', model, choices: [{index: 0, ...choice}],
		};
	}

	get #chatObject(): string {
		return this.#options.isStreamed ? 'chat.completion.chunk' : 'chat.completion';
	}

	#open(status: number, contentType: string): void {
		if (!this.#options.response.headersSent) {
			this.#options.response.writeHead(status, {'content-type': contentType, 'x-request-id': this.#options.requestId});
		}
	}

	#event(value: unknown): void {
		this.#options.response.write(`data: ${JSON.stringify(value)}\n\n`);
	}

	#sendWhole(status: number, value: unknown): void {
		const text = JSON.stringify(value);
		this.#options.response.setHeader('content-length', Buffer.byteLength(text));
		this.#open(status, 'application/json');
		this.#options.response.end(text);
	}
}
