/**
HTTP server for operators: readiness, status, configuration and the console.
*/
import fastify, {type FastifyInstance, type FastifyReply} from 'fastify';
import * as option from 'fp-ts/lib/Option.js';
import type {ConfigurationReplica} from '../configuration/configuration-replica.js';
import {readHistory} from '../configuration/read-history.js';
import {submitConfiguration} from '../configuration/submit-configuration.js';
import {resultCode} from '../generated/result-codes.js';
import type {KeyValueService} from '../ports/key-value-service.js';
import {describeCode} from '../shared/describe-code.js';
import {newIdentifier} from '../shared/new-identifier.js';
import {applyForm} from './console/apply-form.js';
import {renderConsole} from './console/render-console.js';
import type {GatewayStatus} from './gateway-status.js';

const maxHistoryRecords = 20;
const bodyLimit = 1024 * 1024;

type OperatorServerOptions = {
	readonly status: () => GatewayStatus;
	readonly configurationReplica: ConfigurationReplica;
	readonly store: KeyValueService;
};

type Submission = {readonly document?: unknown; readonly author?: unknown; readonly basedOn?: unknown; readonly submissionId?: unknown};

const readSubmission = (body: unknown): Parameters<typeof submitConfiguration>[1] | undefined => {
	const {document, author, basedOn, submissionId} = (body ?? {}) as Submission;
	return typeof document === 'string' && typeof author === 'string' && Number.isSafeInteger(basedOn)
		? {
			document, author, basedOn: basedOn as number, submissionId: typeof submissionId === 'string' ? submissionId : newIdentifier(),
		}
		: undefined;
};

/**
Creates the server without listening; the caller of this function starts and closes it.

@example
```
const server = createOperatorServer({status, configurationReplica, store});
```
*/
export const createOperatorServer = ({status, configurationReplica, store}: OperatorServerOptions): FastifyInstance => {
	const server = fastify({bodyLimit, forceCloseConnections: true});
	const refuse = (reply: FastifyReply, code: number, errors: readonly string[], current?: unknown): FastifyReply => {
		const {status: httpStatus, name, action} = describeCode(code);
		return reply.code(httpStatus).send({
			error: {
				code, name, errors, action, current,
			},
		});
	};

	const submit = async (submission: Parameters<typeof submitConfiguration>[1]) => {
		const submitted = await submitConfiguration(store, submission);
		// This gateway adopts it at once and sends it on to its peers, instead of waiting to receive it from the store.
		submitted.map(accepted => {
			configurationReplica.receive(JSON.stringify(accepted), 'store');
		});
		return submitted;
	};

	/** Submits the form's document. Returns why it was not accepted, or an empty list. */
	const submitForm = async (document: string, fields: Readonly<Record<string, string>>): Promise<readonly string[]> => {
		const submitted = await submit({
			document, author: fields.author ?? 'console', basedOn: Number(fields.basedOn), submissionId: newIdentifier(),
		});
		return submitted.match(() => [], ({code, errors}) => [`${code} ${describeCode(code).name}`, ...errors]);
	};

	server.addContentTypeParser('application/x-www-form-urlencoded', {parseAs: 'string'}, (_request, body, done) => {
		done(null, Object.fromEntries(new URLSearchParams(String(body))));
	});
	server.get('/ready', async (_request, reply) => reply.code(status().ready ? 200 : 503).send({ready: status().ready}));
	server.get('/status', async () => status());
	server.get('/configuration', async (_request, reply) => option.isSome(configurationReplica.accepted)
		? configurationReplica.accepted.value
		: refuse(reply, resultCode.noConfiguration, ['no configuration is in force at this gateway yet']));
	server.post('/configuration', async (request, reply) => {
		const submission = readSubmission(request.body);
		if (submission === undefined) {
			return refuse(reply, resultCode.malformedRequest, ['body: needs document (string), author (string) and basedOn (generation)']);
		}

		const submitted = await submit(submission);
		return submitted.match(accepted => accepted, ({code, errors, current}) => refuse(reply, code, errors, current));
	});
	server.get('/history', async (_request, reply) => {
		const history = await readHistory(store, configurationReplica.generation, maxHistoryRecords);
		return history.match(records => ({records}), ({detail}) => refuse(reply, resultCode.storeUnavailable, [detail]));
	});
	server.get('/', async (_request, reply) => reply.type('text/html').send(renderConsole(status(), configurationReplica.accepted, [])));
	server.post('/', async (request, reply) => {
		const fields = request.body as Readonly<Record<string, string>>;
		const applied = applyForm(configurationReplica.accepted, fields);
		const errors = applied.isErr() ? applied.error : await submitForm(applied.value, fields);
		return reply.code(errors.length === 0 ? 200 : 422).type('text/html').send(renderConsole(status(), configurationReplica.accepted, errors));
	});
	return server;
};
