use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bon::Builder;
use futures::StreamExt;
use futures::future::join_all;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::{ClientMessage, Response, Transport};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{AbortHandle, JoinHandle, JoinSet};
use tokio::time::{Duration, Instant, sleep, timeout, timeout_at};
use tracing::{debug, info, warn};

use super::call_expiry::CallClock;
use super::job_table::is_ended;
use super::leader_loop::LeaderLoop;
use super::leader_request::LeaderRequest;
use super::workload_batch::WorkloadHandle;
use super::workload_loop::WorkloadLoop;
use super::{
    CallExpiry, CommandBody, ControlApi, ControlApiRequest, ControlApiResponse, ControlError,
    ExchangeAnswer, ExchangeRequest, JobFilter, JobView, Reply, ReportAnswer, ReportBatch, Result,
    SharedStateMachine, StateMachine, Status,
};
use crate::budget::{BudgetLimits, BudgetedStream, ByteBudget};
use crate::codec;
use crate::connections::{Connection, Connections};
use crate::kernel::Clock;
use crate::release_note::{NoteAnswer, ReleaseNote};
use crate::replica::Handle;
use crate::request_ledger::{BeginAnswer, BeginRequest, FinishAnswer, FinishRequest};
use crate::scheduler::{
    Explanation, JobKey, JobPhase, JobRecord, JobSpec, JobTransition, SchedulerOptions,
    SubmitAnswer,
};
use crate::telemetry::record_connections;
use crate::units::{Millis, WallMs};
use crate::workload::{PlannerOptions, WorkAnswer, WorkRequest};

/// The maximum number of jobs that one call lists or cancels.
pub const JOBS_PER_CALL_MAX: usize = 1_000;
/// The maximum time that a job look-up waits for the job's end.
const JOB_WAIT_MAX: Duration = Duration::from_secs(30);
/// The capacity of the queue of requests to the leader loop.
const REQUEST_QUEUE_MAX: usize = 1_024;
/// The name of the listener for entries in the metrics.
const LISTENER: &str = "control";
/// The maximum number of open connections. Beyond it, the longest idle one is closed for a new one.
const CONNECTIONS_MAX: usize = 256;
/// How long a stop waits for each loop to finish the changes in progress.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a stop waits for open connections to answer their calls.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a closing connection may take to write its last answers.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(20);

/// Settings of the control service.
#[derive(Builder, Clone, Debug, Default)]
pub struct ControlOptions {
    /// The scheduler's settings.
    #[builder(default)]
    pub scheduler: SchedulerOptions,
    /// The workload planner's settings.
    pub planner: Option<PlannerOptions>,
}

/// The service that entries call. It serves [`ControlApi`] and runs the leader and workload loops.
#[derive(Debug)]
pub struct ControlService {
    address: SocketAddr,
    server: ControlServer,
    stop: watch::Sender<bool>,
    close: watch::Sender<bool>,
    leader_loop: JoinHandle<()>,
    workload_loop: JoinHandle<()>,
    workload: WorkloadHandle,
    acceptor: JoinHandle<()>,
}

impl ControlService {
    /// Starts the service on a bound listener.
    ///
    /// # Errors
    /// The listener's local address cannot be read.
    pub fn start(
        options: ControlOptions,
        handle: Handle,
        state_machine: SharedStateMachine,
        listener: TcpListener,
    ) -> io::Result<Self> {
        let address = listener.local_addr()?;
        let stop = watch::Sender::new(false);
        let close = watch::Sender::new(false);
        let (requests, receiver) = mpsc::channel(REQUEST_QUEUE_MAX);
        let planner = options
            .planner
            .unwrap_or_else(|| PlannerOptions::builder().build());
        let call_clock = CallClock::start();
        let workload = WorkloadLoop::new(
            handle.clone(),
            state_machine.clone(),
            planner,
            Clock::start(),
            call_clock,
        );
        let (workload, workload_loop) = workload.start(stop.subscribe());
        let server = ControlServer {
            requests,
            state_machine: state_machine.clone(),
            handle: handle.clone(),
            workload: workload.clone(),
            call_clock,
            close: close.subscribe(),
        };
        let leader_loop = LeaderLoop::new(
            handle,
            state_machine,
            options.scheduler,
            Clock::start(),
            call_clock,
        );
        let leader_loop = tokio::spawn(leader_loop.run(receiver, stop.subscribe()));
        let acceptor = tokio::spawn(accept(listener, server.clone()));
        info!(event = "control_listens", %address);
        Ok(Self {
            address,
            server,
            stop,
            close,
            leader_loop,
            workload_loop,
            workload,
            acceptor,
        })
    }

    /// Returns a handle for calls on the workload from inside this process.
    #[must_use]
    pub fn workload(&self) -> WorkloadHandle {
        self.workload.clone()
    }

    /// Returns the address that the service listens on.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves an additional connection, for example one inside this process.
    pub fn attach<T>(&self, transport: T) -> AbortHandle
    where
        T: Transport<Response<ControlApiResponse>, ClientMessage<ControlApiRequest>>
            + Send
            + 'static,
        T::Error: Send + Sync,
    {
        let server = self.server.clone();
        let task = async move {
            // It does not count towards the limit, which protects descriptors.
            let uncounted = Connections::new(1).add();
            serve(transport, server, &uncounted).await;
        };
        tokio::spawn(task).abort_handle()
    }

    /// Redirects entries, finishes and answers the changes in progress, and closes all connections.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        if timeout(STOP_TIMEOUT, self.leader_loop).await.is_err() {
            warn!(event = "leader_loop_stuck");
        }
        if timeout(STOP_TIMEOUT, self.workload_loop).await.is_err() {
            warn!(event = "work_loop_stuck");
        }
        self.close.send_replace(true);
        drop(self.acceptor.await);
    }
}

/// Accepts connections until the service closes, then waits for the open ones to finish.
async fn accept(listener: TcpListener, server: ControlServer) {
    let connections = Arc::new(Connections::new(CONNECTIONS_MAX));
    let budget = ByteBudget::new(
        LISTENER,
        BudgetLimits::without_small_reserve(codec::FRAMES_BUDGET_BYTES),
    );
    let mut serving = JoinSet::new();
    let mut close = server.close.clone();
    loop {
        while serving.try_join_next().is_some() {}
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &connections) => accepted,
            _closed = close.wait_for(|close| *close) => break,
        };
        match accepted {
            Ok(stream) => {
                let (server, connections) = (server.clone(), Arc::clone(&connections));
                let connection = connections.add();
                let stream = BudgetedStream::new(stream, budget.clone());
                record_connections(LISTENER, connections.len());
                serving.spawn(async move {
                    serve_stream(stream, server, &connection).await;
                    connections.remove(&connection);
                    record_connections(LISTENER, connections.len());
                });
            }
            Err(cause) => {
                warn!(event = "accept_failed", %cause);
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
    let all_closed = async { while serving.join_next().await.is_some() {} };
    if timeout(CLOSE_TIMEOUT, all_closed).await.is_err() {
        debug!(event = "connections_cut");
    }
}

async fn accept_one(listener: &TcpListener, connections: &Connections) -> io::Result<TcpStream> {
    let (stream, peer) = listener.accept().await?;
    debug!(event = "entry_connected", %peer);
    if let Err(cause) = stream.set_nodelay(true) {
        debug!(event = "nodelay_failed", %cause);
    }
    connections.make_room().await;
    Ok(stream)
}

async fn serve_stream(
    stream: BudgetedStream<TcpStream>,
    server: ControlServer,
    connection: &Arc<Connection>,
) {
    serve(codec::transport(stream), server, connection).await;
}

/// Serves one connection until it closes, which also ends its handlers.
async fn serve<T>(transport: T, server: ControlServer, connection: &Arc<Connection>)
where
    T: Transport<Response<ControlApiResponse>, ClientMessage<ControlApiRequest>> + 'static,
{
    let mut close = server.close.clone();
    let channel = BaseChannel::with_defaults(transport);
    let mut requests = Box::pin(channel.execute(server.serve()));
    let mut handlers = JoinSet::new();
    let mut closing = false;
    while !(closing && handlers.is_empty()) {
        tokio::select! {
            request = requests.next() => match request {
                Some(handler) => {
                    let Some(in_progress) = connection.begin() else {
                        return;
                    };
                    handlers.spawn(async move {
                        handler.await;
                        drop(in_progress);
                    });
                }
                None => return,
            },
            () = connection.closed.cancelled() => return,
            Some(_ended) = handlers.join_next() => {}
            _closed = close.wait_for(|close| *close), if !closing => closing = true,
        }
    }
    // Polling the requests flushes the last answers. A request that arrives now is dropped with the
    // connection and has no effect.
    drop(timeout(FLUSH_TIMEOUT, requests.next()).await);
}

/// The RPC handlers of one connection.
#[derive(Clone, Debug)]
struct ControlServer {
    requests: mpsc::Sender<LeaderRequest>,
    state_machine: SharedStateMachine,
    handle: Handle,
    workload: WorkloadHandle,
    call_clock: CallClock,
    /// Becomes true when connections are to finish their calls and close.
    close: watch::Receiver<bool>,
}

impl ControlServer {
    /// Sends a request to the leader loop and waits for the answer. If the loop has ended, this
    /// replica is no longer the leader.
    async fn request<T>(
        &self,
        request: impl FnOnce(oneshot::Sender<T>) -> LeaderRequest,
    ) -> Result<T> {
        let (reply, answer) = oneshot::channel();
        let not_leader = || ControlError::NotLeader { leader: None };
        let sent = self.requests.send(request(reply)).await;
        sent.map_err(|_closed| not_leader())?;
        answer.await.map_err(|_closed| ControlError::Uncertain)
    }

    async fn propose(&self, expires: CallExpiry, body: CommandBody) -> Result<Reply> {
        let propose = |reply| LeaderRequest::Propose {
            expires,
            body,
            reply,
        };
        self.request(propose).await?
    }

    /// Checks that this replica holds the quorum lease. Reads require it, because the state of a
    /// deposed leader may be outdated.
    fn check_leadership(&self) -> Result<()> {
        if self.handle.has_quorum() {
            return Ok(());
        }
        let leadership = self.handle.leadership().borrow().clone();
        let leader = if leadership.is_ready_leader {
            None
        } else {
            leadership.leader_address
        };
        Err(ControlError::NotLeader { leader })
    }

    fn read<T>(&self, read: impl FnOnce(&StateMachine) -> T) -> Result<T> {
        self.check_leadership()?;
        Ok(self.state_machine.read(read))
    }

    async fn job_views(&self, jobs: Vec<JobRecord>) -> Result<Vec<JobView>> {
        let keys: Vec<JobKey> = jobs.iter().map(|job| job.spec.key.clone()).collect();
        let explanations = self
            .request(|reply| LeaderRequest::Explain { jobs: keys, reply })
            .await?;
        let now = self.state_machine.read(StateMachine::wall_ms);
        let views = jobs.into_iter().zip(explanations);
        Ok(views
            .map(|(job, explanation)| job_view(job, explanation, now))
            .collect())
    }

    /// Waits until the job has ended or `wait_ms`, at most [`JOB_WAIT_MAX`], is over.
    async fn wait_for_end(&self, key: &JobKey, wait_ms: Millis) -> Result<Option<JobRecord>> {
        let deadline = Instant::now() + wait_ms.duration().min(JOB_WAIT_MAX);
        let mut changes = self.state_machine.subscribe_applied();
        loop {
            changes.borrow_and_update();
            let job = self.read(|state_machine| state_machine.job(key).cloned())?;
            let is_open = job.as_ref().is_some_and(|job| !is_ended(job));
            if !is_open || timeout_at(deadline, changes.changed()).await.is_err() {
                return Ok(job);
            }
        }
    }
}

impl ControlApi for ControlServer {
    async fn exchange(self, _: Context, request: ExchangeRequest) -> Result<ExchangeAnswer> {
        self.request(|reply| LeaderRequest::Exchange { request, reply })
            .await?
    }

    async fn report(self, _: Context, batch: ReportBatch) -> Result<ReportAnswer> {
        self.request(|reply| LeaderRequest::Report { batch, reply })
            .await?
    }

    async fn apply_note(
        self,
        _: Context,
        expires: CallExpiry,
        note: ReleaseNote,
    ) -> Result<NoteAnswer> {
        let digest = note.digest();
        let note = Box::new(note);
        match self
            .propose(expires, CommandBody::ApplyNote { note, digest })
            .await?
        {
            Reply::Note(answer) => Ok(answer),
            _ => Err(ControlError::Uncertain),
        }
    }

    async fn begin_request(
        self,
        _: Context,
        expires: CallExpiry,
        request: BeginRequest,
    ) -> Result<BeginAnswer> {
        let body = CommandBody::BeginRequest(Box::new(request));
        match self.propose(expires, body).await? {
            Reply::Begin(answer) => Ok(answer),
            _ => Err(ControlError::Uncertain),
        }
    }

    async fn finish_request(
        self,
        _: Context,
        expires: CallExpiry,
        request: FinishRequest,
    ) -> Result<FinishAnswer> {
        let body = CommandBody::FinishRequest(Box::new(request));
        match self.propose(expires, body).await? {
            Reply::Finish(answer) => Ok(answer),
            _ => Err(ControlError::Uncertain),
        }
    }

    async fn submit_job(
        self,
        _: Context,
        expires: CallExpiry,
        spec: JobSpec,
    ) -> Result<SubmitAnswer> {
        let body = CommandBody::SubmitJob(Box::new(spec));
        match self.propose(expires, body).await? {
            Reply::Submit(answer) => Ok(answer),
            _ => Err(ControlError::Uncertain),
        }
    }

    async fn job(self, _: Context, key: JobKey, wait_ms: Millis) -> Result<Option<JobView>> {
        let job = self.wait_for_end(&key, wait_ms).await?;
        Ok(self.job_views(job.into_iter().collect()).await?.pop())
    }

    async fn jobs(self, _: Context, filter: JobFilter) -> Result<Vec<JobView>> {
        let limit = filter
            .limit
            .min(u32::try_from(JOBS_PER_CALL_MAX).unwrap_or(u32::MAX));
        let filter = JobFilter { limit, ..filter };
        let jobs =
            self.read(|state_machine| state_machine.jobs(&filter).into_iter().cloned().collect())?;
        self.job_views(jobs).await
    }

    async fn cancel_jobs(
        self,
        _: Context,
        expires: CallExpiry,
        keys: Vec<JobKey>,
    ) -> Result<Vec<JobView>> {
        if keys.len() > JOBS_PER_CALL_MAX {
            let reason = "more jobs than one call may cancel".into();
            return Err(ControlError::Refused { reason });
        }
        let cancels = keys.iter().map(|job| {
            let job = job.clone();
            let transition = JobTransition::CancelRequested { job };
            self.propose(expires, CommandBody::Job(Box::new(transition)))
        });
        let results: Result<Vec<Reply>> = join_all(cancels).await.into_iter().collect();
        results?;
        let find = |state_machine: &StateMachine| {
            keys.iter()
                .filter_map(|key| state_machine.job(key))
                .cloned()
                .collect()
        };
        let jobs = self.read(find)?;
        self.job_views(jobs).await
    }

    async fn status(self, _: Context) -> Result<Status> {
        self.request(|reply| LeaderRequest::Status { reply })
            .await?
    }

    async fn members(self, _: Context) -> Result<Vec<SocketAddr>> {
        self.check_leadership()?;
        Ok(self.handle.members())
    }

    async fn work(
        self,
        _: Context,
        expires: CallExpiry,
        request: WorkRequest,
    ) -> Result<WorkAnswer> {
        self.workload.call_until(Some(expires), request).await
    }

    async fn call_clock(self, _: Context) -> Millis {
        self.call_clock.now()
    }
}

fn job_view(job: JobRecord, explanation: Option<Explanation>, now: WallMs) -> JobView {
    let (phase, outcome) = match job.phase {
        JobPhase::Waiting => ("waiting", None),
        JobPhase::Placed { .. } => ("placed", None),
        JobPhase::Started { .. } => ("running", None),
        JobPhase::Ended { outcome } => ("ended", Some(outcome)),
    };
    // An ended job is explained by its outcome. The scheduler may still have an older explanation,
    // because it removes ended jobs only some time later.
    let explanation = explanation.filter(|_reason| outcome.is_none());
    JobView {
        key: job.spec.key,
        phase: phase.into(),
        attempt: job.attempt,
        outcome,
        explanation,
        age_ms: now.since(job.submitted_ms),
    }
}
