/**
The door for callers: model requests in the OpenAI form and calls to plain services.
*/
import {type Buffer} from 'node:buffer';
import fastify, {type FastifyInstance, type FastifyReply, type FastifyRequest} from 'fastify';
import {resultCode} from '../generated/result-codes.js';
import {describeCode} from '../shared/describe-code.js';
import type {CallerSink} from './caller-sink.js';
import type {GatewayRequest} from './gateway-request.js';
import {ModelAnswer} from './model-answer.js';
import {PlainAnswer} from './plain-answer.js';
import {readModelRequest} from './read-model-request.js';
import {readPlainRequest} from './read-plain-request.js';
import {refusalBody} from './refusal-body.js';
import {retryAfterSeconds} from './retry-after-seconds.js';
import type {ServiceCatalogue} from './service-catalogue.js';

const bodyLimit = 8 * 1024 * 1024;
const retryAfterMilliseconds = 1000;

type CallerServerOptions = {
	readonly catalogue: () => ServiceCatalogue | undefined;
	readonly isStopping: () => boolean;
	/** Starts the request; the returned function tells that the caller has gone. */
	readonly run: (request: GatewayRequest, sink: CallerSink) => () => void;
	readonly onRefused: (code: number) => void;
};

type ErrorWithStatus = Error & {readonly statusCode?: number; readonly code?: string};

/** Runs a request that has been read and passes on when its caller goes away. */
const start = (request: GatewayRequest, sink: CallerSink, reply: FastifyReply, run: CallerServerOptions['run']): void => {
	void reply.hijack();
	const callerGone = run(request, sink);
	reply.raw.on('close', () => {
		if (!reply.raw.writableFinished) {
			callerGone();
		}
	});
};

/**
Builds the server; the caller of this function listens and closes.

@example
```
const server = createCallerServer(options);
await server.listen({host, port});
```
*/
export const createCallerServer = ({catalogue, isStopping, run, onRefused}: CallerServerOptions): FastifyInstance => {
	const server = fastify({bodyLimit, forceCloseConnections: 'idle', requestIdHeader: false});
	const refuse = (reply: FastifyReply, code: number, detail?: string): FastifyReply => {
		onRefused(code);
		const {status} = describeCode(code);
		const answer = status === 503 ? reply.header('retry-after', retryAfterSeconds(retryAfterMilliseconds)) : reply;
		return answer.code(status).send(refusalBody(code, '', detail));
	};

	const withCatalogue = (reply: FastifyReply, then: (found: ServiceCatalogue) => FastifyReply): FastifyReply => {
		if (isStopping()) {
			return refuse(reply.header('connection', 'close'), resultCode.stopping);
		}

		const found = catalogue();
		return found === undefined ? refuse(reply, resultCode.noConfiguration) : then(found);
	};

	const model = (request: FastifyRequest, reply: FastifyReply, isChat: boolean): FastifyReply => withCatalogue(reply, found =>
		readModelRequest({path: request.url, body: request.body, headers: request.headers}, found).match(
			read => {
				const {model: name, stream} = request.body as {readonly model: string; readonly stream?: boolean};
				start(read, new ModelAnswer({
					response: reply.raw, requestId: read.requestId, model: name, isChat, isStreamed: stream === true,
				}), reply, run);
				return reply;
			},
			({code, detail}) => refuse(reply, code, detail),
		));

	server.post('/v1/completions', (request, reply) => model(request, reply, false));
	server.post('/v1/chat/completions', (request, reply) => model(request, reply, true));
	void server.register(async plain => {
		plain.removeAllContentTypeParsers();
		plain.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
			done(null, (body as Buffer).toString('utf8')); // eslint-disable-line @typescript-eslint/no-restricted-types
		});
		plain.all('/services/:service/*', (request, reply) => withCatalogue(reply, found => {
			const {service} = request.params as {readonly service: string};
			const path = request.url.slice(`/services/${service}`.length);
			return readPlainRequest({
				service, method: request.method, path, body: (request.body as string | undefined) ?? '', headers: request.headers,
			}, found).match(
				read => {
					start(read, new PlainAnswer(reply.raw, read.requestId), reply, run);
					return reply;
				},
				({code, detail}) => refuse(reply, code, detail),
			);
		}));
	});
	server.setNotFoundHandler((request, reply) => refuse(reply, resultCode.unknownService, `path: no such door as ${request.method} ${request.url}`));
	server.setErrorHandler((error: ErrorWithStatus, _request, reply) => error.statusCode === 413
		? refuse(reply, resultCode.requestTooLarge, `body: over ${bodyLimit} bytes`)
		: refuse(reply, resultCode.malformedRequest, `request: ${error.message}`));
	return server;
};
