/**
HTTP server for callers: model requests in the format of OpenAI's API and calls to plain services.
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
import {createErrorBody} from './create-error-body.js';
import {retryAfterSeconds} from './retry-after-seconds.js';
import type {ServiceCatalogue} from './service-catalogue.js';

const bodyLimit = 8 * 1024 * 1024;
const retryAfterMilliseconds = 1000;

type CallerServerOptions = {
	readonly catalogue: () => ServiceCatalogue | undefined;
	readonly isStopping: () => boolean;
	/** Starts the request. Returns a function to be called when the caller disconnects. */
	readonly run: (request: GatewayRequest, sink: CallerSink) => () => void;
	readonly onRefused: (code: number) => void;
};

type ErrorWithStatus = Error & {readonly statusCode?: number; readonly code?: string};

/** Starts a request, and reports when its caller disconnects before the answer is complete. */
const startRequest = (request: GatewayRequest, sink: CallerSink, reply: FastifyReply, run: CallerServerOptions['run']): void => {
	void reply.hijack();
	const onDisconnect = run(request, sink);
	reply.raw.on('close', () => {
		if (!reply.raw.writableFinished) {
			onDisconnect();
		}
	});
};

/**
Creates the server without listening; the caller of this function starts and closes it.

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
		const replyWithHeaders = status === 503 ? reply.header('retry-after', retryAfterSeconds(retryAfterMilliseconds)) : reply;
		return replyWithHeaders.code(status).send(createErrorBody(code, '', detail));
	};

	const withCatalogue = (reply: FastifyReply, handle: (found: ServiceCatalogue) => FastifyReply): FastifyReply => {
		if (isStopping()) {
			return refuse(reply.header('connection', 'close'), resultCode.stopping);
		}

		const found = catalogue();
		return found === undefined ? refuse(reply, resultCode.noConfiguration) : handle(found);
	};

	const handleModelRequest = (request: FastifyRequest, reply: FastifyReply, isChat: boolean): FastifyReply => withCatalogue(reply, found =>
		readModelRequest({path: request.url, body: request.body, headers: request.headers}, found).match(
			read => {
				const {model: name, stream} = request.body as {readonly model: string; readonly stream?: boolean};
				startRequest(read, new ModelAnswer({
					response: reply.raw, requestId: read.requestId, model: name, isChat, isStreamed: stream === true,
				}), reply, run);
				return reply;
			},
			({code, detail}) => refuse(reply, code, detail),
		));

	server.post('/v1/completions', (request, reply) => handleModelRequest(request, reply, false));
	server.post('/v1/chat/completions', (request, reply) => handleModelRequest(request, reply, true));
	void server.register(async plainServer => {
		plainServer.removeAllContentTypeParsers();
		plainServer.addContentTypeParser('*', {parseAs: 'buffer'}, (_request, body, done) => {
			done(null, (body as Buffer).toString('utf8')); // eslint-disable-line @typescript-eslint/no-restricted-types
		});
		plainServer.all('/services/:service/*', (request, reply) => withCatalogue(reply, found => {
			const {service} = request.params as {readonly service: string};
			const path = request.url.slice(`/services/${service}`.length);
			return readPlainRequest({
				service, method: request.method, path, body: (request.body as string | undefined) ?? '', headers: request.headers,
			}, found).match(
				read => {
					startRequest(read, new PlainAnswer(reply.raw, read.requestId), reply, run);
					return reply;
				},
				({code, detail}) => refuse(reply, code, detail),
			);
		}));
	});
	server.setNotFoundHandler((request, reply) => refuse(reply, resultCode.unknownService, `path: no route for ${request.method} ${request.url}`));
	server.setErrorHandler((error: ErrorWithStatus, _request, reply) => error.statusCode === 413
		? refuse(reply, resultCode.requestTooLarge, `body: over ${bodyLimit} bytes`)
		: refuse(reply, resultCode.malformedRequest, `request: ${error.message}`));
	return server;
};
